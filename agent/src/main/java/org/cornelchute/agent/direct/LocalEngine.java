package org.cornelchute.agent.direct;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.weights.LayerRange;
import org.cornelchute.policy.weights.LoadDecider.Engine;
import org.cornelchute.policy.weights.Manifest;

/** The engine on the agent's VM; each call invokes its callback exactly once, on the event loop. */
public interface LocalEngine {

  /** Queries the engine's state. */
  void queryState(String model, Consumer<Either<Failure, Engine>> callback);

  /** Writes a chunk to the engine's store. */
  void writeChunk(
      String model, int chunk, byte[] bytes, Consumer<Either<Failure, Boolean>> callback);

  /**
   * Reads a chunk from the engine's store.
   *
   * @param again whether the chunk was read before; the call then has a connection of its own, so
   *     that no late copy of the response to the earlier read is mistaken for its response
   */
  void readChunk(
      Manifest manifest, int chunk, boolean again, Consumer<Either<Failure, byte[]>> callback);

  /**
   * Commands the engine to hold some layers of a version. It loads those that it does not hold from
   * its store and releases all others.
   *
   * @param sequence number of load commands that the engine must have accepted so far; it refuses
   *     the command otherwise
   * @param callback receives whether the engine accepted the command
   */
  void startLoad(
      String model,
      long version,
      long sequence,
      LayerRange layers,
      Consumer<Either<Failure, Boolean>> callback);

  /**
   * Commands the engine to reject all calls that have not started, also those in its queue, and to
   * hold only some layers of the version that it has loaded.
   *
   * @param sequence number of load commands that the engine must have accepted so far; it refuses
   *     the command otherwise
   * @param callback receives whether the engine accepted the command
   */
  void releaseLayers(
      String model,
      long version,
      long sequence,
      LayerRange layers,
      Consumer<Either<Failure, Boolean>> callback);
}
