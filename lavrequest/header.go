package lavrequest

// HTTP headers between callers and entry hosts.
const (
	// HeaderTimeout is the time within which the caller wants the answer, as a
	// duration such as "1.5s".
	HeaderTimeout = "Lav-Timeout"
	// HeaderKind is the name of the request's Kind.
	HeaderKind = "Lav-Kind"
	// HeaderOutcome is the name of the request's Outcome. It is sent as a
	// header or as a trailer.
	HeaderOutcome = "Lav-Outcome"
	// HeaderRequest is the ID of the request.
	HeaderRequest = "Lav-Request"
	// HeaderResume is the token with which the caller can resume a broken
	// stream.
	HeaderResume = "Lav-Resume"
	// HeaderTruncated is "true" if the answer contains only the beginning of the
	// body, because the whole body was too long to store for a repeated call, or
	// because the host had no memory for it.
	HeaderTruncated = "Lav-Truncated"
	// HeaderIdempotencyKey identifies a call. Calls of a customer with the same
	// key are the same call.
	HeaderIdempotencyKey = "Idempotency-Key"
)
