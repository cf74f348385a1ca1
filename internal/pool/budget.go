package pool

// retryBudget limits retries of tasks that may have run to a tenth of requests, so that a pool of failing workers does
// not get twice its load.
type retryBudget struct {
	tokens float64
}

const (
	retriesPerRequest = 0.1
	maxRetryTokens    = 10 // a long quiet time does not allow a larger burst of retries
	maxRetries        = 2  // of one request
)

func newRetryBudget() retryBudget { return retryBudget{tokens: 1} }

func (b *retryBudget) earn() { b.tokens = min(b.tokens+retriesPerRequest, maxRetryTokens) }

func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
