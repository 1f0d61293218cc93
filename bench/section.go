package main

// section adds the rows of one topic to the table.
type section func(t *table)

// sections lists the topics in the order in which they are printed.
func sections() []section {
	return []section{
		muotiennuste,
		nordfjell,
		memoryless,
		burst,
		loadFaults,
		overloadSection,
		outageSection,
		herdSection,
		prefixSection,
		limitSection,
		retryAfterSection,
		hedgeSection,
		routingCostSection,
		latencySection,
	}
}
