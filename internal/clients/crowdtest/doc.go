// Package crowdtest holds the tests of the program against crowds of clients outside the limits. They start the program itself, and measure
// the memory of a process, so that they run apart from other load and one at a time.
package crowdtest
