// Command standin-2 runs the cases of the second review: it starts the project's daemons on loopback addresses, plays the platform,
// the workers, the consumers and the operator, records what they see, and checks one rule.
package main
