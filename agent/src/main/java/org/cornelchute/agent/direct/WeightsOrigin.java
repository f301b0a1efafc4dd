package org.cornelchute.agent.direct;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.weights.Manifest;

/** The origin of weights; answers come on the event loop, exactly one for each call. */
public interface WeightsOrigin {

  /** Returns the region that it stands in, empty if it is not known. */
  String region();

  /** Reads the digests of a version's chunks. */
  void readManifest(String model, long version, Consumer<Either<Failure, Manifest>> answer);

  /** Reads a chunk. */
  void readChunk(Manifest manifest, int chunk, Consumer<Either<Failure, byte[]>> answer);
}
