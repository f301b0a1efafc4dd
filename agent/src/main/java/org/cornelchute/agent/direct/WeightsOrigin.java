package org.cornelchute.agent.direct;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.weights.Manifest;

/** The origin of weights; each read invokes its callback exactly once, on the event loop. */
public interface WeightsOrigin {

  /** Returns the origin's region, empty if it is not known yet. */
  String region();

  /** Reads the manifest of a version. */
  void readManifest(String model, long version, Consumer<Either<Failure, Manifest>> callback);

  /** Reads a chunk. */
  void readChunk(Manifest manifest, int chunk, Consumer<Either<Failure, byte[]>> callback);
}
