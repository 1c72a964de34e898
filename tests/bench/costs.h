// What each part of the system costs at several sizes. A quick run takes the
// smaller sizes only.

#ifndef GENTIANLB_TESTS_BENCH_COSTS_H_
#define GENTIANLB_TESTS_BENCH_COSTS_H_

#include "table.h"

namespace gentianlb::bench {

// One host's probes and news, in steady state and while a new version of the
// configuration comes into force every 15 s.
Table MeasureMembership(bool quick);

// Decisions, and what a waiting request takes in the heap.
Table MeasureDispatcher(bool quick);

// What one request costs between its entry host and a dispatcher elsewhere.
Table MeasureLink(bool quick);

// Rows and transactions of keyed requests, by class.
Table MeasureClaims(bool quick);

// Commits a second and the wait in front of them, by who joins them.
Table MeasureGrouping(bool quick);

// A version of the configuration, whole and with one workspace changed.
Table MeasureConfiguration(bool quick);

// The platform's list of hosts.
Table MeasureHostList(bool quick);

// One exchange between hosts on loopback, without TLS.
Table MeasureHttp(bool quick);

// One event of the time line.
Table MeasureTimeline(bool quick);

}  // namespace gentianlb::bench

#endif  // GENTIANLB_TESTS_BENCH_COSTS_H_
