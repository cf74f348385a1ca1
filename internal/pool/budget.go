package pool

// retryBudget is a token bucket that limits retries of tasks that may have run to a tenth of the requests, so that a pool of
// failing workers does not receive twice its load.
type retryBudget struct {
	tokens float64
}

const (
	retryTokensPerRequest = 0.1
	maxRetryTokens        = 10 // an idle period does not allow a larger burst of retries
	maxRetriesPerRequest  = 2  // of tasks that may have run
)

func newRetryBudget() retryBudget { return retryBudget{tokens: 1} }

func (b *retryBudget) deposit() { b.tokens = min(b.tokens+retryTokensPerRequest, maxRetryTokens) }

func (b *retryBudget) trySpend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
