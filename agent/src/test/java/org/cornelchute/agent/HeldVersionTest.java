package org.cornelchute.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import org.cornelchute.policy.weights.Manifest;
import org.junit.jupiter.api.Test;

class HeldVersionTest {

  @Test
  void reusesUnchangedChunksOfPreviousVersion() {
    byte[] weights = new byte[100];
    new Random(2).nextBytes(weights);
    HeldVersion previous = new HeldVersion(Manifest.of("m", "v1", weights, 10));
    for (int i = 0; i < 10; i++) {
      previous.chunks[i] = Arrays.copyOfRange(weights, 10 * i, 10 * i + 10);
    }
    weights[5] ^= 1;
    HeldVersion next = new HeldVersion(Manifest.of("m", "v2", weights, 10));
    assertThat(next.reuseChunks(previous).cardinality()).isEqualTo(9);
    assertThat(next.chunks[0]).isNull();
  }
}
