package org.cornelchute.core.cli;

/** Life cycle of a daemon, as controlled by its main program. */
public interface Daemon extends AutoCloseable {

  /** Opens all sockets and starts all duties. */
  void start();

  /**
   * Announces that the daemon leaves, stops accepting requests and waits for those in flight.
   *
   * @return whether all requests ended in time
   */
  boolean drain();

  /** Closes all sockets and stops all duties. */
  @Override
  void close();
}
