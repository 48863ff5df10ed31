package placement

// TransferCost is the time of the KV transfer on the link of a prefill server.
type TransferCost struct{}

// Cost implements Scorer.
func (TransferCost) Cost(r *Request, s *Server) float64 {
	return float64((r.PromptTokens+pieceTokens-1)/pieceTokens) * s.PieceMillis()
}

// pieceTokens is the number of tokens in a piece, the unit of engine memory.
const pieceTokens = 2000
