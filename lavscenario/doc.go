// Package lavscenario defines test scenarios: a load and the faults that are
// injected while it runs.
//
// A scenario is a file of JSON with comments. The same file can drive a running
// system over the network (lavenderbench load) and an experiment in virtual time
// (lavexperiment). Scenario.Plan derives from a scenario and a seed the exact
// list of requests and their arrival times. The same seed gives the same plan.
package lavscenario
