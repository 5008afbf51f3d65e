package caescrow_test

import (
	"fmt"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
)

// A transfer may arrive late, twice or not at all: the sender is debited first,
// and the receiver credits each number once.
func ExampleAccount_Send() {
	cores := func(n int64) cawork.Resources { return cawork.Resources{CPU: cawork.Cores(n)} }
	north, south := caescrow.NewAccount("north"), caescrow.NewAccount("south")
	_ = north.SetMint(caescrow.MintShare{Team: "reports", Version: 1, Amount: cores(10)})

	transfer, _ := north.Send("south", "reports", cores(4))
	for range 2 {
		isNew, _ := south.Receive(transfer)
		fmt.Println(isNew)
	}
	fmt.Println(south.Charge("reports", cores(5)))
	fmt.Println(north.Available("reports"))
	fmt.Println(south.Available("reports"))
	// Output:
	// true
	// false
	// team reports: charge 5.000 cores, 0 MiB, 0 accelerators exceeds allowance 4.000 cores, 0 MiB, 0 accelerators
	// 6.000 cores, 0 MiB, 0 accelerators
	// 4.000 cores, 0 MiB, 0 accelerators
}
