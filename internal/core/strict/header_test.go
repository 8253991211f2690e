package strict_test

import (
	"fmt"
	"net/http"

	"chestnutshed.example/chestnutshed/internal/core/strict"
)

func ExampleCheckHeader() {
	for _, name := range []string{"Content-Length", "x_1.2", "Content-Length ", "X Bad", "X\tBad", "X\x00", "Ä", ""} {
		if err := strict.CheckHeader(http.Header{name: {"1"}}); err != nil {
			fmt.Println(err)
		}
	}
	// Output:
	// response has malformed field name "Content-Length "
	// response has malformed field name "X Bad"
	// response has malformed field name "X\tBad"
	// response has malformed field name "X\x00"
	// response has malformed field name "Ä"
	// response has malformed field name ""
}
