// Package caselection sorts the first elements of a list.
package caselection

import "slices"

// First returns the first n elements of a list in its order, sorted. It reorders the list. The
// rest is not sorted: a request names a few of many upstreams.
func First[T any](list []T, n int, compare func(x, y T) int) []T {
	if n <= 0 {
		return nil
	}
	kept := list[:min(n, len(list))]
	for i := len(kept)/2 - 1; i >= 0; i-- {
		siftDown(kept, i, compare)
	}
	for _, x := range list[len(kept):] {
		if compare(x, kept[0]) < 0 {
			kept[0] = x
			siftDown(kept, 0, compare)
		}
	}
	slices.SortFunc(kept, compare)
	return kept
}

// siftDown restores a heap with its last element at the root, where only the element at a place may
// be out of order.
func siftDown[T any](heap []T, place int, compare func(x, y T) int) {
	for {
		child := 2*place + 1
		if child >= len(heap) {
			return
		}
		if child+1 < len(heap) && compare(heap[child+1], heap[child]) > 0 {
			child++
		}
		if compare(heap[child], heap[place]) <= 0 {
			return
		}
		heap[child], heap[place] = heap[place], heap[child]
		place = child
	}
}
