// Package lavdispatch assigns requests to endpoints.
//
// It combines three decisions that other packages make: the queue selects the
// next request, the policy selects its endpoint, and a credit permits the
// dispatch. The dispatcher makes them under one lock whenever a request arrives
// or ends, credits arrive, or a new endpoint snapshot is published.
//
// The dispatcher also measures how fast the queue drains and how much longer
// the prefill of prompts in each lane takes than on an idle endpoint. Together
// with the prefill and decode rates that the endpoints report, admission uses
// these measurements to refuse requests at once that cannot finish before their
// deadline.
package lavdispatch
