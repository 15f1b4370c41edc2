package lavplan

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func BenchmarkPlace(b *testing.B) {
	for _, endpoints := range []int{16, 54, 1100} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			draw := rand.New(rand.NewPCG(1, 1))
			board := idle(endpoints)
			for i := range board {
				board[i].Requests = draw.IntN(16)
				board[i].Strict = draw.IntN(board[i].Requests + 1)
			}
			for b.Loop() {
				Place(testEngine, review(200_000), board, DrawTieBreakers(endpoints, 68, draw.Float64))
			}
		})
	}
}
