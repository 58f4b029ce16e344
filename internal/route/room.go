package route

// FreeCapacity estimates how many more requests of a model version the targets
// admit. This is the free capacity of the layer that has the least. It returns
// false if some layer has no target. The function own returns the entry's own
// open work at a target.
func FreeCapacity(v View, version string, layers int, own func(target string) int) (int, bool) {
	// Free capacity and number of targets by layer, each stored as the difference
	// from the layer before.
	freeDelta, targetsDelta := make([]int, layers+1), make([]int, layers+1)
	for _, t := range v.targets {
		l := t.Load.Layers
		if !t.Admits() || t.Load.Version != version || l.From < 0 || l.To <= l.From || l.To > layers {
			continue
		}
		free := max(0, t.Load.Limit-t.EstimatedOpen(own(t.Name)))
		freeDelta[l.From] += free
		freeDelta[l.To] -= free
		targetsDelta[l.From]++
		targetsDelta[l.To]--
	}
	least, free, targets := -1, 0, 0
	for i := range layers {
		free += freeDelta[i]
		targets += targetsDelta[i]
		if targets == 0 {
			return 0, false
		}
		if least < 0 || free < least {
			least = free
		}
	}
	return least, least >= 0
}
