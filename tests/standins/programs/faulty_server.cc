// A backend server with faults, as a process that a test can kill.

#include "standins/faulty_server.h"

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

int main(int argc, char** argv) {
  using gentianlb::standins::FaultyServer;
  gentianlb::standins::FaultyServerOptions options;
  int work_ms = 5;
  int piece_gap_ms = 0;
  int event_gap_ms = 0;
  CLI::App app("A backend server with faults.");
  app.add_option("--id", options.id)->required();
  app.add_option("--port", options.port);
  app.add_option("--started", options.started);
  app.add_option("--version-name", options.version);
  app.add_option("--seed", options.seed);
  app.add_option("--work-ms", work_ms);
  app.add_option("--body-bytes", options.body_bytes);
  app.add_option("--pieces", options.pieces);
  app.add_option("--piece-gap-ms", piece_gap_ms);
  app.add_option("--events", options.events);
  app.add_option("--event-gap-ms", event_gap_ms);
  app.add_option("--doubled", options.doubled);
  app.add_option("--doubled-refusals", options.doubled_refusals);
  app.add_option("--copied-at-once", options.copied_at_once);
  app.add_option("--refused", options.refused);
  app.add_option("--refused-first", options.refused_first);
  app.add_option("--too-many", options.too_many);
  app.add_option("--timeouts", options.timeouts);
  app.add_option("--unnamed", options.unnamed);
  app.add_option("--chunked", options.chunked);
  app.add_option("--unframed", options.unframed);
  app.add_option("--unframed-streams", options.unframed_streams);
  app.add_option("--cut", options.cut);
  app.add_option("--cut-in-head", options.cut_in_head);
  app.add_option("--reset", options.reset);
  app.add_option("--endless", options.endless);
  app.add_option("--bad-head", options.bad_head);
  app.add_flag("--answers-early", options.answers_early);
  CLI11_PARSE(app, argc, argv);
  options.work = absl::Milliseconds(work_ms);
  options.piece_gap = absl::Milliseconds(piece_gap_ms);
  options.event_gap = absl::Milliseconds(event_gap_ms);
  try {
    FaultyServer(options, STDOUT_FILENO).Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "faulty_server: %s\n", error.what());
    return 1;
  }
}
