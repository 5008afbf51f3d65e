package cadispatch

// Keys keeps the outcomes of requests with idempotency keys.
type Keys interface{}
