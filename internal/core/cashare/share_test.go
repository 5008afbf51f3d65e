package cashare_test

import (
	"fmt"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/cashare"
)

func ExampleTable() {
	b := cashare.NewTable()
	b.SetTotal(cawork.Resources{CPU: cawork.Cores(100), Memory: 400 * cawork.GiB})
	north, south := b.Team("north"), b.Team("south")
	b.SetWeight(north, 2)
	b.Charge(north, cawork.Resources{CPU: cawork.Cores(10), Memory: 80 * cawork.GiB})
	b.Charge(south, cawork.Resources{CPU: cawork.Cores(11)})
	fmt.Println(north.Share(), south.Share(), north.Entitlement(3) > south.Entitlement(3))
	// Output: 0.1 0.11 true
}
