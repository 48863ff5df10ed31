package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/advisory"
)

// inVirtualTime runs a test on a fleet in virtual time.
func inVirtualTime(t *testing.T, test func(is *is.I, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		test(is.New(t), f)
	})
}

// midAnswer is a time after the start of a request at which its answer is being
// streamed.
const midAnswer = 600 * time.Millisecond

func TestAnswerIsComplete(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *fleet) {
		x := f.sendPrompt("entry-1", "q", false, nil)
		<-x.done
		is.Equal(x.answerText(), answer("q"))
		time.Sleep(maxReclaimTime)
		is.Equal(f.heldRequests(), 0)
	})
}

// TestAnswersThatCanNotEndInTimeAreNotBegun guards engines against prefills for callers that give up
// before the answer ends.
func TestAnswersThatCanNotEndInTimeAreNotBegun(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *fleet) {
		for _, prompt := range []string{"learnt", "learnt again"} {
			<-f.sendPrompt("entry-1", prompt, false, nil).done
		}
		for limit, begun := range map[time.Duration]int{midAnswer: 0, 5 * time.Second: 1} {
			prompt := fmt.Sprint("within ", limit)
			body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":100}`, prompt)
			x := f.sendWithin(limit, "entry-1", http.MethodPost, "/v1/completions", body, nil, nil)
			<-x.done
			is.Equal(f.prefills(prompt), begun)
			is.Equal(x.out.status() == http.StatusOK, begun == 1)
		}
	})
}

func TestCallerDisconnectFreesMemory(t *testing.T) {
	for _, after := range []time.Duration{10, 60, 110, 150, 400} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			inVirtualTime(t, func(is *is.I, f *fleet) {
				x := f.sendPrompt("entry-1", "q", true, nil)
				time.Sleep(after * time.Millisecond)
				x.cancel()
				<-x.done
				time.Sleep(maxReclaimTime)
				is.Equal(f.heldRequests(), 0)
				is.Equal(f.agents["decode-1"].agent.Snapshot().Load.SlotsUsed+f.agents["decode-2"].agent.Snapshot().Load.SlotsUsed, 0)
			})
		})
	}
}

func TestEntryPartitionFreesMemory(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *fleet) {
		x := f.sendPrompt("entry-1", "q", true, nil)
		time.Sleep(200 * time.Millisecond)
		for _, addr := range addresses {
			f.net.partition("entry-1", addr, true)
		}
		time.Sleep(maxReclaimTime)
		is.Equal(f.heldRequests(), 0)
		x.cancel()
		<-x.done
	})
}

func TestLostCancelIsRepaired(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *fleet) {
		x := f.sendPrompt("entry-1", "q", true, nil)
		time.Sleep(200 * time.Millisecond)
		for _, addr := range addresses {
			f.net.blackhole("entry-1", addr) // the Cancel is lost with its connection
		}
		x.cancel()
		<-x.done
		time.Sleep(maxReclaimTime)
		is.Equal(f.heldRequests(), 0)
		for name, p := range f.agents {
			is.Equal(len(p.agent.Snapshot().Attempts), 0) // no attempt remains
			_ = name
		}
	})
}

func TestAgentRestartFreesMemory(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *fleet) {
		x := f.sendPrompt("entry-1", "q", true, nil)
		time.Sleep(midAnswer)
		for _, name := range []string{"decode-1", "decode-2"} {
			f.agents[name].kill()
			f.startAgent(name)
		}
		x.cancel()
		<-x.done
		time.Sleep(maxReclaimTime)
		is.Equal(f.heldRequests(), 0)
	})
}

func TestAnswerContinuesAfterFault(t *testing.T) {
	both := []string{"decode-1", "decode-2"}
	faults := map[string]func(f *fleet){
		"connections blackholed": func(f *fleet) {
			for _, name := range both {
				f.net.blackhole("entry-1", addresses[name])
			}
		},
		"engine dies": func(f *fleet) {
			for _, name := range both {
				f.engines[name].setState(true, false)
				f.engines[name].setState(false, false)
			}
		},
		"engine freezes": func(f *fleet) {
			for _, name := range both {
				if f.engines[name].heldRequests() > 0 {
					f.engines[name].setState(false, true)
				}
			}
		},
		"agent dies": func(f *fleet) {
			for _, name := range both {
				f.agents[name].kill()
				f.startAgent(name)
			}
		},
		"agent partitioned": func(f *fleet) {
			for _, name := range both {
				if f.engines[name].heldRequests() > 0 {
					f.net.partition("entry-1", addresses[name], true)
				}
			}
		},
	}
	for name, fault := range faults {
		for _, after := range []time.Duration{50, 150, 600, 1000} {
			t.Run(fmt.Sprintf("%s after %dms", name, after), func(t *testing.T) {
				inVirtualTime(t, func(is *is.I, f *fleet) {
					x := f.sendPrompt("entry-1", "q", true, nil)
					time.Sleep(after * time.Millisecond)
					fault(f)
					<-x.done
					text, _, complete := x.streamed()
					is.True(complete)
					is.Equal(text, answer("q"))
				})
			})
		}
	}
}

func TestFrozenPrefillEngineIsAbandoned(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *fleet) {
		x := f.sendPrompt("entry-1", "q", false, nil)
		time.Sleep(50 * time.Millisecond)
		for _, name := range []string{"prefill-1", "prefill-2"} {
			if f.engines[name].heldRequests() > 0 {
				f.engines[name].setState(false, true)
			}
		}
		start := time.Now()
		<-x.done
		is.Equal(x.answerText(), answer("q"))
		is.True(time.Since(start) < 10*time.Second)
	})
}

// TestExpiredResultLeadsNotBackToAFrozenEngine guards against a request that fails although a server
// can run it, since all further attempts go to the frozen one.
func TestExpiredResultLeadsNotBackToAFrozenEngine(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *fleet) {
		busy, other := f.engines["decode-1"], f.engines["decode-2"]
		for i := range 3 { // one of the engines looks empty
			f.sendPrompt("entry-1", fmt.Sprint("other ", i), false, nil)
			time.Sleep(135 * time.Millisecond)
		}
		if busy.heldRequests() < other.heldRequests() {
			busy, other = other, busy
		}
		x := f.sendPrompt("entry-1", "q", false, nil)
		time.Sleep(115 * time.Millisecond)
		other.setState(false, true)
		busy.expireNext()
		<-x.done
		is.True(f.prefills("q") <= 3)
		is.Equal(x.answerText(), answer("q"))
	})
}

// TestCallerResumesThroughAnotherEntry also guards against state of a resumable answer that
// entries alone hold. If the agent starts again too, nothing runs again.
func TestCallerResumesThroughAnotherEntry(t *testing.T) {
	for name, tc := range map[string]struct{ restart, restartAgents bool }{
		"the caller leaves":                 {false, false},
		"all entries are killed":            {true, false},
		"all entries and agents are killed": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(is *is.I, f *fleet) {
				first := f.sendPrompt("entry-1", "q", true, map[string]string{"Samphire-Resume": "10s"})
				time.Sleep(midAnswer)
				before, offset, complete := first.streamed()
				is.True(!complete)
				is.True(before != "")
				ticket := first.header("Samphire-Resume-Ticket")
				for _, entry := range []string{"entry-1", "entry-2"} {
					if tc.restart {
						f.entries[entry].kill()
						f.startEntry(entry)
					}
				}
				first.cancel()
				<-first.done
				for _, name := range []string{"decode-1", "decode-2"} {
					if tc.restartAgents {
						f.agents[name].kill()
						f.startAgent(name)
					}
				}
				time.Sleep(4 * time.Second) // longer than the lease
				second := f.send("entry-2", http.MethodGet, "/v1/requests/"+ticket, "", map[string]string{"Last-Event-ID": offset}, nil)
				<-second.done
				after, _, complete := second.streamed()
				is.Equal(complete, !tc.restartAgents)
				if complete {
					is.Equal(before+after, answer("q"))
				} else {
					is.Equal(second.outcome(), "outcome_unknown")
				}
				is.Equal(f.prefills("q"), 1)
				time.Sleep(10*time.Second + maxReclaimTime)
				is.Equal(f.heldRequests(), 0)
			})
		})
	}
}

func TestResumeTakesOverRunningAnswer(t *testing.T) {
	for _, second := range []string{"entry-1", "entry-2"} {
		t.Run(second, func(t *testing.T) {
			inVirtualTime(t, func(is *is.I, f *fleet) {
				first := f.sendPrompt("entry-1", "q", true, map[string]string{"Samphire-Resume": "10s"})
				time.Sleep(midAnswer)
				ticket := first.header("Samphire-Resume-Ticket")
				x := f.send(second, http.MethodGet, "/v1/requests/"+ticket+"?offset=0", "", nil, nil)
				<-x.done
				text, _, complete := x.streamed()
				is.True(complete)
				is.Equal(text, answer("q"))
				<-first.done
				_, _, complete = first.streamed()
				is.True(!complete) // the former connection gets no second answer
				is.Equal(f.prefills("q"), 1)
			})
		})
	}
}

func TestGraceExpires(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *fleet) {
		x := f.sendPrompt("entry-1", "q", true, map[string]string{"Samphire-Resume": "1s"})
		time.Sleep(300 * time.Millisecond)
		x.cancel()
		<-x.done
		time.Sleep(time.Second + maxReclaimTime)
		is.Equal(f.heldRequests(), 0)
		for _, name := range []string{"decode-1", "decode-2"} {
			is.Equal(len(f.agents[name].agent.Snapshot().Attempts), 0)
		}
	})
}

func TestForgedResumeTicketIsRefused(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *fleet) {
		for _, path := range []string{"/v1/requests/forged", "/v1/requests/forged?offset=-1"} {
			x := f.send("entry-1", http.MethodGet, path, "", nil, nil)
			<-x.done
			is.Equal(x.out.status(), http.StatusBadRequest)
			is.Equal(x.outcome(), "outcome_unknown") // the request of a ticket may have run
		}
	})
}

func TestMethodNotAllowedListsAllowedMethods(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *fleet) {
		for path, allow := range map[string]string{"/v1/completions": "POST", "/v1/models": "GET, HEAD", "/v1/requests/forged": "GET, HEAD"} {
			x := f.send("entry-1", http.MethodDelete, path, "", nil, nil)
			<-x.done
			is.Equal(x.out.status(), http.StatusMethodNotAllowed)
			is.Equal(x.out.Header().Get("Allow"), allow)
		}
	})
}

func TestSlowCallerDoesNotDelayOthers(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *fleet) {
		stall := make(chan struct{})
		slow := f.send("entry-1", http.MethodPost, "/v1/completions", `{"model":"m","prompt":"s","stream":true}`, nil, stall)
		time.Sleep(midAnswer)
		x := f.sendPrompt("entry-1", "q", true, nil)
		start := time.Now()
		<-x.done
		text, _, complete := x.streamed()
		is.True(complete)
		is.Equal(text, answer("q"))
		is.True(time.Since(start) < 5*time.Second)
		close(stall)
		<-slow.done
	})
}

func TestPaymentAnsweredAfterBrokenConnection(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *fleet) {
		f.service.hold = make(chan struct{})
		x := f.send("entry-1", http.MethodPost, "/ledger/payments", "pay", nil, nil)
		time.Sleep(100 * time.Millisecond)
		f.net.blackhole("entry-1", addresses["ledger-1"])
		time.Sleep(2 * testLease)
		close(f.service.hold)
		<-x.done
		is.Equal(x.out.status(), http.StatusCreated)
		is.Equal(f.service.executions("pay"), 1)
	})
}

func TestTicketOfEarlierIncarnationHasUnknownOutcome(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *fleet) {
		x := f.send("entry-1", http.MethodPost, "/ledger/payments", "pay", nil, nil)
		<-x.done
		is.Equal(x.out.status(), http.StatusCreated)
		ticket := map[string]string{"Samphire-Ticket": x.header("Samphire-Ticket")}
		again := f.send("entry-2", http.MethodPost, "/ledger/payments", "pay", ticket, nil)
		<-again.done
		is.Equal(again.out.status(), http.StatusCreated)
		f.agents["ledger-1"].kill()
		f.startAgent("ledger-1")
		time.Sleep(2 * testHeartbeat)
		late := f.send("entry-2", http.MethodPost, "/ledger/payments", "pay", ticket, nil)
		<-late.done
		is.Equal(late.outcome(), "outcome_unknown")
		is.Equal(f.service.executions("pay"), 1)
	})
}

// TestRepeatToUnreachableAgentHasUnknownOutcome guards against reporting
// not_run for the repeat of a payment that has run, when the entry of the
// repeat cannot reach the agent. TestRandomFaults found it.
func TestRepeatToUnreachableAgentHasUnknownOutcome(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *fleet) {
		x := f.send("entry-1", http.MethodPost, "/ledger/payments", "pay", nil, nil)
		<-x.done
		f.net.partition("entry-2", addresses["ledger-1"], true)
		time.Sleep(testLease)
		ticket := map[string]string{"Samphire-Ticket": x.header("Samphire-Ticket")}
		again := f.send("entry-2", http.MethodPost, "/ledger/payments", "pay", ticket, nil)
		<-again.done
		is.Equal(again.outcome(), "outcome_unknown")
	})
}

// TestFrozenPrefillEngineDuringTransfer checks that a retry avoids both servers
// of a failed transfer.
func TestFrozenPrefillEngineDuringTransfer(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *fleet) {
		x := f.sendPrompt("entry-1", "q", false, nil)
		time.Sleep(90 * time.Millisecond)
		for _, name := range []string{"prefill-1", "prefill-2"} {
			if f.engines[name].heldRequests() > 0 {
				time.Sleep(15 * time.Millisecond) // the prefill has ended, the transfer has not
				f.engines[name].setState(false, true)
				break
			}
		}
		<-x.done
		is.Equal(x.answerText(), answer("q"))
		is.True(f.prefills("q") <= 3)
	})
}

// TestRequestWaitsForAStartingEntry sends a request before the entry has
// received the first heartbeat replies of its agents.
func TestRequestWaitsForAStartingEntry(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *fleet) {
		f.startEntry("entry-3")
		x := f.sendPrompt("entry-3", "q", false, nil)
		<-x.done
		is.Equal(x.answerText(), answer("q"))
	})
}

// TestTicketNamesCurrentIncarnation guards against issuing a ticket for an
// earlier incarnation. It pays right after the agent was restarted, before a
// heartbeat reported the new incarnation: the entry reaches it only once it serves.
func TestTicketNamesCurrentIncarnation(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *fleet) {
		f.net.partition("entry-1", addresses["ledger-1"], true)
		f.agents["ledger-1"].kill()
		f.startAgent("ledger-1")
		synctest.Wait()
		f.net.partition("entry-1", addresses["ledger-1"], false)
		x := f.send("entry-1", http.MethodPost, "/ledger/payments", "pay", nil, nil)
		<-x.done
		is.Equal(x.out.status(), http.StatusCreated)
	})
}

// TestEnginesAreLeftAloneAtTheirWord lets an engine ask for a pause, and one say that it leaves.
func TestEnginesAreLeftAloneAtTheirWord(t *testing.T) {
	for name, said := range map[string]advisory.Notice{"pause": {RetryAfter: 20 * time.Second}, "leaving": {Leaving: true}} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(is *is.I, f *fleet) {
				said.Sent, said.Received = time.Now(), time.Now()
				f.agents["prefill-1"].agent.Observe(said, nil)
				time.Sleep(3 * testHeartbeat)
				for i := range 8 {
					prompt := fmt.Sprint("prompt ", i)
					x := f.sendPrompt("entry-1", prompt, true, nil)
					<-x.done
					is.Equal(x.out.status(), http.StatusOK)
					is.Equal(f.engines["prefill-1"].prefills(prompt), 0)
				}
				time.Sleep(time.Minute)
				f.agents["prefill-1"].agent.Observe(advisory.Notice{ToRequest: true, Sent: time.Now(), Received: time.Now()}, nil)
				f.engines["prefill-2"].setState(true, false)
				time.Sleep(3 * testHeartbeat)
				x := f.sendPrompt("entry-1", "last", true, nil)
				<-x.done
				is.Equal(x.out.status(), http.StatusOK)
				is.Equal(f.engines["prefill-1"].prefills("last"), 1)
			})
		})
	}
}

// TestAnswersGoOnOnlyAtTheSoftwareThatBeganThem kills the engine of an answer whose only other
// decode engine has the same, or another version of its software.
func TestAnswersGoOnOnlyAtTheSoftwareThatBeganThem(t *testing.T) {
	for other, goesOn := range map[string]bool{"v1": true, "v2": false} {
		t.Run(other, func(t *testing.T) {
			inVirtualTime(t, func(is *is.I, f *fleet) {
				versions := map[string]string{"decode-1": "v1", "decode-2": other}
				for name, software := range versions {
					f.agents[name].agent.Observe(advisory.Notice{Software: software, Received: time.Now()}, nil)
				}
				time.Sleep(3 * testHeartbeat)
				x := f.sendPrompt("entry-1", "q", true, nil)
				time.Sleep(midAnswer)
				for name := range versions {
					if f.engines[name].heldRequests() > 0 {
						f.engines[name].setState(true, false)
					}
				}
				<-x.done
				_, _, complete := x.streamed()
				is.Equal(complete, goesOn)
			})
		})
	}
}

// TestBufferedAnswerIsNeverPartial fails all engines amid an answer. A caller that asked for
// no stream has received nothing of it.
func TestBufferedAnswerIsNeverPartial(t *testing.T) {
	for _, stream := range []bool{false, true} {
		inVirtualTime(t, func(is *is.I, f *fleet) {
			x := f.sendPrompt("entry-1", "q", stream, nil)
			time.Sleep(midAnswer)
			for _, e := range f.engines {
				e.setState(true, false)
			}
			<-x.done
			if stream {
				text, _, complete := x.streamed()
				is.True(!complete && text != "")
				is.True(strings.Contains(x.out.text(), `"outcome":"partial"`))
				return
			}
			is.Equal(x.outcome(), "outcome_unknown")
		})
	}
}
