package org.cornelchute.policy.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Prompt prefixes that an engine probably holds; virtual time. */
class PrefixCacheTest {

  private static final long VERSION = 2;
  private static final long MEMORY_TOKENS = 2_000;
  private static final PromptPrefix PROMPT = PromptPrefix.of(List.of(1L, 2L), List.of(800, 400));

  private final PrefixCache cache = new PrefixCache();
  private long now = 1_000_000;

  private void record(PromptPrefix prefix) {
    cache.record(now, VERSION, prefix, MEMORY_TOKENS);
  }

  private long held(PromptPrefix prefix) {
    return cache.heldTokens(now, VERSION, prefix);
  }

  // Failure: a part counts as cached though other parts precede it, so that the engine must process
  // it again.
  @Test
  void countsLeadingPartsOnly() {
    record(PROMPT);
    assertThat(held(PROMPT)).isEqualTo(1_200);
    assertThat(held(PromptPrefix.of(List.of(1L), List.of(800)))).isEqualTo(800);
    assertThat(held(PromptPrefix.of(List.of(1L, 3L), List.of(800, 90)))).isEqualTo(800);
    assertThat(held(PromptPrefix.of(List.of(2L), List.of(400)))).isZero();
    assertThat(held(PromptPrefix.of(List.of(2L, 1L), List.of(400, 800)))).isZero();
    assertThat(held(PromptPrefix.of(List.of(3L, 2L), List.of(90, 400)))).isZero();
    assertThat(held(PromptPrefix.NONE)).isZero();
  }

  // Failure: prefixes that the engine has long evicted attract calls.
  @Test
  void evictsTheOldestBeyondTheMemory() {
    record(PROMPT);
    now += 10;
    record(PromptPrefix.of(List.of(5L), List.of(700)));
    assertThat(held(PROMPT)).isEqualTo(1_200);
    now += 10;
    record(PromptPrefix.of(List.of(6L), List.of(200)));
    assertThat(held(PROMPT)).as("the longer chain is evicted first").isEqualTo(800);
    now += 10;
    record(PromptPrefix.of(List.of(7L), List.of(1_900)));
    assertThat(held(PROMPT)).isZero();
    assertThat(held(PromptPrefix.of(List.of(7L), List.of(1_900)))).isEqualTo(1_900);
    assertThat(cache.size()).isEqualTo(1);
  }

  // Failure: a prefix that is in use all the time is evicted, since it was the first.
  @Test
  void keepsPrefixesInUse() {
    for (int i = 10; i < 60; i++) {
      now += 1_000;
      record(PromptPrefix.of(List.of(1L, (long) i), List.of(800, 300)));
      assertThat(held(PromptPrefix.of(List.of(1L), List.of(800)))).isEqualTo(800);
    }
    assertThat(cache.size()).isLessThanOrEqualTo(5);
  }

  // Failure: a prompt that does not fit, or an engine of unknown memory, makes the state grow.
  @Test
  void holdsNothingThatDoesNotFit() {
    record(PromptPrefix.of(List.of(1L), List.of(2_001)));
    assertThat(cache.size()).isZero();
    cache.record(now, VERSION, PROMPT, 0);
    assertThat(cache.size()).isZero();
    for (long i = 0; i < 3L * PrefixCache.MAX_PREFIXES; i++) {
      record(PromptPrefix.of(List.of(i), List.of(0)));
    }
    assertThat(cache.size()).isEqualTo(PrefixCache.MAX_PREFIXES);
  }

  // Failure: prefixes of earlier weights count, which no engine can use.
  @Test
  void endsWithOtherWeights() {
    record(PROMPT);
    assertThat(cache.heldTokens(now, VERSION + 1, PROMPT)).isZero();
    cache.record(now, VERSION + 1, PromptPrefix.of(List.of(9L), List.of(5)), MEMORY_TOKENS);
    assertThat(cache.heldTokens(now, VERSION + 1, PROMPT)).isZero();
    assertThat(held(PROMPT)).isZero();
    assertThat(cache.size()).isEqualTo(1);
  }

  // Failure: prefixes that nobody used for long attract calls.
  @Test
  void endsWithoutUse() {
    record(PROMPT);
    now += PrefixCache.MAX_UNUSED_MILLIS - 1;
    assertThat(held(PROMPT)).isEqualTo(1_200);
    now++;
    assertThat(held(PROMPT)).isZero();
    record(PromptPrefix.of(List.of(9L), List.of(5)));
    assertThat(cache.size()).isEqualTo(1);
  }

  // Failure: state of engines that have ended stays for good.
  @Test
  void dropsEnginesThatEnded() {
    PrefixCaches prompts = new PrefixCaches();
    prompts.of(1).record(now, VERSION, PROMPT, MEMORY_TOKENS);
    prompts.of(2).record(now, VERSION, PROMPT, MEMORY_TOKENS);
    assertThat(prompts.prefixCount()).isEqualTo(4);
    prompts.retain(Set.of(2));
    assertThat(prompts.engineCount()).isEqualTo(1);
    prompts.drop(2);
    assertThat(prompts.prefixCount()).isZero();
  }

  // Failure: tokens that belong to other parts, or are missing, are counted as a saving.
  @Test
  void knowsNoPrefixWithoutTokens() {
    assertThat(PromptPrefix.of(List.of(1L, 2L), List.of(800))).isEqualTo(PromptPrefix.NONE);
    assertThat(PromptPrefix.of(List.of(1L), List.of())).isEqualTo(PromptPrefix.NONE);
    assertThat(PromptPrefix.of(List.of(), List.of())).isEqualTo(PromptPrefix.NONE);
  }
}
