package predict

// defaultAnswerTokens is the predicted length before the first sample.
const defaultAnswerTokens = 64

// lengthGain is small, since the lengths of answers vary widely.
const lengthGain = 0.02

// LengthKey identifies a class of answers that are expected to have similar lengths.
type LengthKey struct {
	Model    string
	Provider string
}

// Lengths predicts the length of answers by model and provider. A class without
// samples gets the mean of all answers.
type Lengths struct {
	all   Mean
	byKey map[LengthKey]*Mean
}

// NewLengths returns a predictor without samples.
func NewLengths() *Lengths {
	return &Lengths{all: Mean{Gain: lengthGain}, byKey: map[LengthKey]*Mean{}}
}

// Add adds the length of an answer in tokens.
func (l *Lengths) Add(k LengthKey, tokens int) {
	m, ok := l.byKey[k]
	if !ok {
		m = &Mean{Gain: lengthGain}
		l.byKey[k] = m
	}
	m.Add(float64(tokens))
	l.all.Add(float64(tokens))
}

// Predict returns the expected length of an answer in tokens.
func (l *Lengths) Predict(k LengthKey) float64 {
	all := l.all.Value(defaultAnswerTokens)
	if m, ok := l.byKey[k]; ok {
		return m.Value(all)
	}
	return all
}

// HasSamples reports whether there is any sample.
func (l *Lengths) HasSamples() bool { return l.all.Samples() > 0 }

// MeanAbsError returns the mean absolute error, in tokens, of the mean over all
// classes.
func (l *Lengths) MeanAbsError() float64 { return l.all.MeanAbsError() }
