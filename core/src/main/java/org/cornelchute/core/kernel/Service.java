package org.cornelchute.core.kernel;

/** Component with a life cycle that is managed by the {@link Kernel}. */
public interface Service extends AutoCloseable {

  /** Starts the service; called at most once, before {@link #close()}. */
  default void start() {}

  /** Stops the service and waits until it has stopped; called at most once. */
  @Override
  void close();
}
