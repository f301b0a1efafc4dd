package org.cornelchute.agent.direct;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.weights.LoadDecider.Engine;

/** The engine beside the agent; answers come on the event loop, exactly one for each call. */
public interface LocalEngine {

  /** Asks the engine for its state. */
  void queryState(String model, Consumer<Either<Failure, Engine>> answer);

  /** Puts a chunk into the engine's store. */
  void writeChunk(String model, int chunk, byte[] bytes, Consumer<Either<Failure, Boolean>> answer);

  /** Reads a chunk from the engine's store. */
  void readChunk(String model, int chunk, Consumer<Either<Failure, byte[]>> answer);

  /** Orders the engine to load what lies in its store, if it still has accepted so many orders. */
  void startLoad(
      String model, long version, long sequence, Consumer<Either<Failure, Boolean>> answer);
}
