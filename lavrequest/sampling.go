package lavrequest

// Sampling holds the parameters by which an engine chooses the tokens of an
// answer. They are passed to the engine as the caller set them. For parameters
// that are nil the engine uses its defaults.
type Sampling struct {
	// Stop holds stop sequences. The answer ends before the first of them that
	// would occur in it.
	Stop             []string `json:"stop,omitempty"`
	Temperature      *float64 `json:"temperature,omitempty"`
	TopP             *float64 `json:"top_p,omitempty"`
	PresencePenalty  *float64 `json:"presence_penalty,omitempty"`
	FrequencyPenalty *float64 `json:"frequency_penalty,omitempty"`
	Seed             *int64   `json:"seed,omitempty"`
}
