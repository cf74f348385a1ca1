// Package hedge sends hedged requests: it repeats a call whose answer is late while the earlier calls continue.
package hedge
