package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
)

// Payment is a record of the ledger.
type Payment struct {
	Contract string `json:"contract"`
	Amount   int64  `json:"amount"`
	// Reference distinguishes the payments of one contract.
	Reference string `json:"reference,omitempty"`
}

// PaymentReceipt is the ledger's answer to a payment.
type PaymentReceipt struct {
	Payment
	// Execution is the number of the payment in the order of recording, from 1.
	Execution int `json:"execution"`
}

// Contract is the status of a contract.
type Contract struct {
	Contract string `json:"contract"`
	Paid     int64  `json:"paid"`
}

// Ledger is a stand-in plain service that counts executions. POST /payments
// records a Payment and is not idempotent; GET /contracts/ID reads a Contract.
type Ledger struct {
	mu       sync.Mutex
	payments []Payment
	arrivals int
	// onPayment, if set, runs before a payment is recorded.
	onPayment func(Payment)
	observer  func(Observation)
	gates     gates
}

// Executions returns the number of payments that were recorded.
func (l *Ledger) Executions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.payments)
}

// Payments returns a copy of the records.
func (l *Ledger) Payments() []Payment {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Payment(nil), l.payments...)
}

// OnPayment sets a function that runs before a payment is recorded.
func (l *Ledger) OnPayment(f func(Payment)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onPayment = f
}

// Handler returns the ledger's HTTP interface.
func (l *Ledger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /payments", l.servePayment)
	mux.HandleFunc("GET /contracts/{id}", l.serveContract)
	return mux
}

func (l *Ledger) servePayment(w http.ResponseWriter, r *http.Request) {
	var p Payment
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil || p.Contract == "" {
		http.Error(w, `give a JSON body such as {"contract":"C1","amount":100}`, http.StatusBadRequest)
		return
	}
	id := l.receivePayment(p)
	out := l.recordPayment(id, p)
	if l.gates.pass(r.Context(), StepAnswer) != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(out)
}

// receivePayment counts the arrival of a payment and waits while a test holds
// StepRecord. It does so without the context of the request, since a payment is
// recorded even if its client has disconnected.
func (l *Ledger) receivePayment(p Payment) (id int) {
	l.mu.Lock()
	onPayment := l.onPayment
	l.arrivals++
	id = l.arrivals
	l.observeLocked(ObservedHeld, id, p)
	l.mu.Unlock()
	if onPayment != nil {
		onPayment(p)
	}
	_ = l.gates.pass(context.Background(), StepRecord)
	return id
}

func (l *Ledger) recordPayment(id int, p Payment) PaymentReceipt {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.payments = append(l.payments, p)
	l.observeLocked(ObservedRan, id, p)
	return PaymentReceipt{Payment: p, Execution: len(l.payments)}
}

func (l *Ledger) serveContract(w http.ResponseWriter, r *http.Request) {
	out := Contract{Contract: r.PathValue("id")}
	for _, p := range l.Payments() {
		if p.Contract == out.Contract {
			out.Paid += p.Amount
		}
	}
	writeJSON(w, out)
}
