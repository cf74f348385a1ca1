// Package claim claims, in the store, the ids that callers give to non-idempotent requests, so that no id runs twice.
package claim
