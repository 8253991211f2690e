package status_test

import (
	"fmt"

	"chestnutshed.example/chestnutshed/internal/core/status"
)

func ExampleFinal() {
	for _, code := range []int{-1, 0, 20, 99, 100, 101, 199, 200, 299, 503, 599, 600, 999, 2000} {
		if status.Final(code) {
			fmt.Print(code, " ")
		}
	}
	// Output: 200 299 503 599
}
