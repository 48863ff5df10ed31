package predict

// defaultAnswerTokens is assumed until the first answers are known.
const defaultAnswerTokens = 64

// lengthGain is slow, since the lengths of answers scatter widely.
const lengthGain = 0.02

// LengthKey names a class of answers of similar length.
type LengthKey struct {
	Model    string
	Provider string
}

// Lengths predicts the length of answers by model and provider.
type Lengths struct {
	all   Mean
	byKey map[LengthKey]*Mean
}

// NewLengths returns a predictor that has learnt nothing.
func NewLengths() *Lengths {
	return &Lengths{all: Mean{Gain: lengthGain}, byKey: map[LengthKey]*Mean{}}
}

// Add learns the length of an answer in tokens.
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

// Learnt reports whether any length was learnt.
func (l *Lengths) Learnt() bool { return l.all.Samples() > 0 }

// Error returns the mean absolute error of the predictions in tokens, over all
// answers.
func (l *Lengths) Error() float64 { return l.all.Error() }
