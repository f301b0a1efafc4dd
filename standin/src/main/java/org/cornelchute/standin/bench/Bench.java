package org.cornelchute.standin.bench;

import java.io.IOException;

/** A benchmark that is run by name. */
interface Bench {

  /** Returns the name on the command line. */
  String name();

  /** Returns a line for the help that says what is measured. */
  String summary();

  /** Runs the benchmark and returns its figures. */
  Report run(BenchOptions options) throws IOException;
}
