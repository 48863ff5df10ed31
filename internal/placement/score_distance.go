package placement

import "github.com/samphirestream/samphirestream/internal/predict"

// DistanceCost is the network latency of the round trips to a server.
type DistanceCost struct {
	// RoundTrips is the number of round trips before the first token.
	RoundTrips float64
}

// Cost implements Scorer.
func (c DistanceCost) Cost(_ *Request, s *Server) float64 {
	return 2 * c.RoundTrips * predict.Milliseconds(s.Distance)
}
