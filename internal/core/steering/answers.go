package steering

// Classification of answers by their size. A server that rejects or fails a request sends a status
// line and little else, while the successful answers of a route have a usual size. The size is
// that of the data which the caller acknowledges first.
const (
	// shortAnswerRatio is how many times smaller than usual an answer must be to count as failed.
	// Successful answers of a feed vary by a factor of two in both directions.
	shortAnswerRatio = 3
	// answerSizeWeight is the weight of a new size in the moving average.
	answerSizeWeight = 0.02
	// minAnswerSizes is the number of answers of a route before any is classified. Until then
	// the average is the mean of all of them.
	minAnswerSizes = 20
)

// answerSize is the usual size of the answers of one route, in bytes. Short answers don't change
// it, so it stays valid while servers reject most requests.
type answerSize struct {
	mean  float64
	count int
}

// see records an answer and reports whether it is much shorter than usual.
func (a *answerSize) see(bytes uint32) (short bool) {
	size := float64(bytes)
	if a.count < minAnswerSizes {
		a.count++
		a.mean += (size - a.mean) / float64(a.count)
		return false
	}
	if size*shortAnswerRatio < a.mean {
		return true
	}
	a.mean += answerSizeWeight * (size - a.mean)
	return false
}
