package org.cornelchute.agent.direct;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.weights.LoadDecider.Engine;
import org.cornelchute.policy.weights.Manifest;

/** The engine on the agent's VM; each call invokes its callback exactly once, on the event loop. */
public interface LocalEngine {

  /** Queries the engine's state. */
  void queryState(String model, Consumer<Either<Failure, Engine>> callback);

  /** Writes a chunk to the engine's store. */
  void writeChunk(
      String model, int chunk, byte[] bytes, Consumer<Either<Failure, Boolean>> callback);

  /** Reads a chunk from the engine's store. */
  void readChunk(Manifest manifest, int chunk, Consumer<Either<Failure, byte[]>> callback);

  /**
   * Commands the engine to load a version from its store.
   *
   * @param sequence number of load commands that the engine must have accepted so far; it refuses
   *     the command otherwise
   * @param callback receives whether the engine accepted the command
   */
  void startLoad(
      String model, long version, long sequence, Consumer<Either<Failure, Boolean>> callback);
}
