package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/ratelimit"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

// Settings are the durations and limits of Claims.
type Settings struct {
	Retention   time.Duration // a claim is kept at least this long
	Window      time.Duration // claims made within this time share one lease
	CallTimeout time.Duration // of one call to the store
	ReleaseWait time.Duration // the longest time that Release blocks
	PerSecond   int           // largest rate of claims of this entry host
}

// DefaultSettings returns the settings for production. Nine entry hosts at 40 claims a second stay within the several
// hundred writes a second that the store can take.
func DefaultSettings() Settings {
	return Settings{
		Retention: time.Hour, Window: 10 * time.Minute, CallTimeout: time.Second,
		ReleaseWait: 200 * time.Millisecond, PerSecond: 40,
	}
}

// Deps are the dependencies of Claims.
type Deps struct {
	Clock     jaybarrow.Clock
	Log       zerolog.Logger
	Store     jaybarrow.Store
	Entry     jaybarrow.EntryID
	NewChange func() jaybarrow.ChangeID
	Settings  Settings
	OnFault   rungroup.Handler // called when a background part fails; nil crashes the process
}

// Claims makes and releases claims at a limited rate.
type Claims struct {
	deps    Deps
	limiter *ratelimit.Bucket
	leases  leases
	group   *rungroup.Group
}

// New returns Claims; they have no lease until the first claim.
func New(deps Deps) *Claims {
	return &Claims{
		deps: deps, group: rungroup.New(deps.OnFault), limiter: ratelimit.New(deps.Settings.PerSecond, deps.Settings.PerSecond),
		leases: leases{deps: deps, granting: make(chan struct{}, 1)},
	}
}

// Close waits for releases in progress.
func (c *Claims) Close() { c.group.Wait() }

// Held is a claim that this process has made; the zero value is no claim.
type Held struct {
	claims   *Claims
	key      jaybarrow.Key
	revision jaybarrow.Revision
}

// record is the stored form of a claim.
type record struct {
	Entry  jaybarrow.EntryID  `json:"entry"`
	Change jaybarrow.ChangeID `json:"change"`
}

// Claim claims the request's id for the team. It returns KindDuplicateRequest when the id is already claimed, and
// KindClaimUnavailable with EffectNotRun when it is not certain that this call made the claim.
func (c *Claims) Claim(ctx context.Context, team jaybarrow.TeamID, id jaybarrow.RequestID) (Held, error) {
	if _, ok := c.limiter.Take(c.deps.Clock.Now()); !ok {
		return Held{}, jaybarrow.Errorf(jaybarrow.KindClaimUnavailable, "more than %d claims a second", c.deps.Settings.PerSecond)
	}
	ctx, cancel := context.WithTimeout(ctx, c.deps.Settings.CallTimeout)
	defer cancel()
	own := record{Entry: c.deps.Entry, Change: c.deps.NewChange()}
	value, err := json.Marshal(own)
	if err != nil {
		return Held{}, unavailableError(fmt.Errorf("encode the claim: %w", err))
	}
	held := Held{claims: c, key: jaybarrow.ClaimKey(team, id)}
	held.revision, err = c.create(ctx, held.key, value)
	switch {
	case err == nil:
		return held, nil
	case jaybarrow.IsKind(err, jaybarrow.KindConflict):
		return Held{}, duplicateError(id)
	case jaybarrow.AsError(err).Effect == jaybarrow.EffectNotRun:
		return Held{}, unavailableError(err)
	}
	return c.readBack(held, id, own.Change, err)
}

func duplicateError(id jaybarrow.RequestID) error {
	return jaybarrow.Errorf(jaybarrow.KindDuplicateRequest, "request %s was claimed before", id)
}

func unavailableError(cause error) error {
	return jaybarrow.Errorf(jaybarrow.KindClaimUnavailable, "confirm the claim: %w", cause)
}

// create writes the claim; when the store does not know the lease, it retries once with a new one.
func (c *Claims) create(ctx context.Context, key jaybarrow.Key, value []byte) (jaybarrow.Revision, error) {
	for attempt := 0; ; attempt++ {
		lease, err := c.leases.current(ctx)
		if err != nil {
			return 0, jaybarrow.AsError(err).WithEffect(jaybarrow.EffectNotRun)
		}
		revision, err := c.deps.Store.CompareAndSwap(ctx, key, 0, value, lease)
		if attempt > 0 || !jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
			return revision, err
		}
		c.leases.discard(lease)
	}
}

// readBack determines whether a write whose answer was lost made the claim. A write that is not found may still take effect, so
// only a claim that is found counts.
func (c *Claims) readBack(held Held, id jaybarrow.RequestID, change jaybarrow.ChangeID, cause error) (Held, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.deps.Settings.CallTimeout)
	defer cancel()
	found, err := c.deps.Store.Get(ctx, held.key)
	if err != nil {
		return Held{}, unavailableError(cause)
	}
	var r record
	if err := json.Unmarshal(found.Value, &r); err != nil {
		return Held{}, unavailableError(cause)
	}
	if r.Change != change {
		return Held{}, duplicateError(id)
	}
	held.revision = found.Revision
	return held, nil
}

// Release deletes the claim of a request that certainly did not run, so that the caller may retry with the same id. It blocks for
// at most ReleaseWait; a claim that is not deleted expires with its lease.
func (h Held) Release(ctx context.Context) {
	if h.claims == nil {
		return
	}
	done := make(chan struct{})
	h.claims.group.Go("release of a claim", func() {
		defer close(done)
		h.delete()
	})
	select {
	case <-done:
	case <-ctx.Done():
	case <-h.claims.deps.Clock.After(h.claims.deps.Settings.ReleaseWait):
	}
}

// delete deletes the claim, and retries once. A retry is safe because the deletion applies only to the claim's revision.
func (h Held) delete() {
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), h.claims.deps.Settings.CallTimeout)
		_, err := h.claims.deps.Store.Delete(ctx, h.key, h.revision)
		cancel()
		if err == nil || jaybarrow.IsKind(err, jaybarrow.KindConflict) {
			return
		}
		h.claims.deps.Log.Warn().Err(err).Str("key", string(h.key)).Msg("cannot delete the claim; unless a retry deletes it, it expires with its lease")
	}
}
