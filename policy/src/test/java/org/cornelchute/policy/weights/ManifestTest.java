package org.cornelchute.policy.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ManifestTest {

  private static Manifest sample() {
    byte[] weights = new byte[1_000];
    new Random(1).nextBytes(weights);
    return Manifest.of("andina/m", "v1", weights, 300);
  }

  @Test
  void parsesItsOwnText() {
    Manifest manifest = sample();
    assertThat(Manifest.parse(manifest.text()).get()).isEqualTo(manifest);
    assertThat(manifest.sizeOf(3)).isEqualTo(100);
  }

  @Test
  void rejectsCorruptChunkAndChunkOfAnotherIndex() {
    byte[] weights = new byte[1_000];
    new Random(1).nextBytes(weights);
    byte[] chunk = Arrays.copyOfRange(weights, 0, 300);
    Manifest manifest = sample();
    assertThat(manifest.verifies(0, chunk)).isTrue();
    assertThat(manifest.verifies(1, chunk)).isFalse();
    chunk[5] ^= 1;
    assertThat(manifest.verifies(0, chunk)).isFalse();
  }

  @Test
  void rejectsTextWithMissingChunk() {
    String text = sample().text();
    String truncated = text.substring(0, text.length() - 65);
    assertThat(Manifest.parse(truncated).getLeft().message()).contains("lists 3 chunks, not 4");
  }

  /** Guards against a message that names the number of chunks where the limit is exceeded. */
  @ParameterizedTest
  @ValueSource(longs = {(1L << 20) + 1, Long.MAX_VALUE})
  void rejectsMoreChunksThanAllowedWithLimit(long count) {
    String text = "m v1 " + count + " 1\n";
    assertThat(Manifest.parse(text).getLeft().message())
        .contains("more than 1048576 chunks: " + count);
  }

  /** Guards against a size near the largest number that overflows the number of chunks. */
  @Test
  void countsChunksOfLargestSize() {
    String text = "m v1 " + Long.MAX_VALUE + " 1024\n";
    assertThat(Manifest.parse(text).getLeft().message()).contains(": " + (1L << 53));
  }
}
