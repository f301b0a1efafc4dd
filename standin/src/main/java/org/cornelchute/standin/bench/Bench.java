package org.cornelchute.standin.bench;

import java.io.IOException;

/** One named measurement. */
interface Bench {

  /** Name as typed. */
  String name();

  /** One line for the help: what it measures. */
  String summary();

  /** Runs the measurement. */
  Report run(BenchOptions options) throws IOException;
}
