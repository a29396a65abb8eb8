// Package mutation plants faults in the control side and checks that its tests and searches find
// each of them. It holds nothing but tests.
package mutation
