package org.cornelchute.policy.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cornelchute.policy.weights.LoadDecider.Engine;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Orders to one engine: only whole and verified weights, only what was named, one at a time. */
class LoadDeciderTest {

  private static final long BORN = 77;
  private LoadDecider decider;
  private long now = 10_000;

  @BeforeEach
  void create() {
    decider = new LoadDecider(new LoadDecider.LoadOptions(250, 5_600, 200, 2_500));
  }

  private static Engine engine(long version, boolean busy, long sequence) {
    return new Engine(true, BORN, version, busy, sequence);
  }

  private static boolean has(List<LoadEffect> effects, Class<? extends LoadEffect> type) {
    return effects.stream().anyMatch(type::isInstance);
  }

  @Test
  void ordersOnlyWhatWasReadBackAndVerified() {
    decider.named(now, 2);
    decider.reported(now, engine(1, false, 4));
    assertThat(has(decider.reported(now, engine(1, false, 4)), LoadEffect.Stage.class)).isFalse();
    assertThat(has(decider.whole(now, 2), LoadEffect.Stage.class)).isTrue();
    assertThat(has(decider.staged(now, 1, false), LoadEffect.Order.class)).isFalse();
    now += 300;
    assertThat(has(decider.reported(now, engine(1, false, 4)), LoadEffect.Stage.class)).isTrue();
    assertThat(decider.staged(now, 2, true)).contains(new LoadEffect.Order(2, 4));
  }

  @Test
  void givesNoOrderToAnEngineThatStartedAnewMeanwhile() {
    decider.named(now, 2);
    decider.reported(now, engine(1, false, 0));
    decider.whole(now, 2);
    decider.reported(now, new Engine(true, BORN + 1, 0, false, 0));
    // What was put into the store of the incarnation before says nothing about this one.
    assertThat(has(decider.staged(now, 1, true), LoadEffect.Order.class)).isFalse();
    assertThat(decider.staged(now, 2, true)).contains(new LoadEffect.Order(2, 0));
  }

  @Test
  void takesTurnsButFillsAnEmptyEngineAtOnce() {
    decider.ranked(3);
    decider.named(now, 2);
    decider.reported(now, engine(1, false, 0));
    assertThat(has(decider.whole(now, 2), LoadEffect.Stage.class)).isFalse();
    assertThat(has(decider.reported(now + 740, engine(1, false, 0)), LoadEffect.Stage.class))
        .isFalse();
    assertThat(has(decider.reported(now + 750, engine(1, false, 0)), LoadEffect.Stage.class))
        .isTrue();
    create();
    decider.ranked(3);
    decider.named(now, 2);
    decider.reported(now, engine(0, false, 0));
    assertThat(has(decider.whole(now, 2), LoadEffect.Stage.class)).isTrue();
  }

  @Test
  void tellsEntriesBeforeAnEngineThatServesChangesOver() {
    decider.named(now, 2);
    decider.reported(now, engine(1, false, 0));
    assertThat(decider.whole(now, 2).get(0)).isEqualTo(new LoadEffect.Announce(2));
  }

  @Test
  void loadsSupersededVersionsOnlyWhenTheirTimeRunsOut() {
    decider.named(now, 2);
    decider.reported(now, engine(1, false, 0));
    decider.named(now + 4_000, 3);
    assertThat(has(decider.whole(now + 5_000, 2), LoadEffect.Stage.class)).isFalse();
    assertThat(has(decider.reported(now + 5_600, engine(1, false, 0)), LoadEffect.Stage.class))
        .isTrue();
    assertThat(decider.isOpen(2)).isTrue();
    assertThat(decider.isOpen(1)).isFalse();
    decider.named(now + 6_000, 4);
    assertThat(decider.isOpen(2)).isFalse();
  }

  @Test
  void fetchesVersionsNamedInQuickSuccessionOneAfterTheOther() {
    // Pattern: two versions named 3 s apart, each to be in force in 8 s over links for one in 4 s.
    assertThat(decider.named(now, 2)).contains(new LoadEffect.Fetch(2));
    assertThat(decider.named(now + 3_000, 3)).isEmpty();
    assertThat(decider.whole(now + 5_000, 2)).contains(new LoadEffect.Fetch(3));
    assertThat(decider.named(now + 6_000, 4)).isEmpty();
    assertThat(decider.reported(now + 8_400, Engine.UNREACHABLE)).isEmpty();
    assertThat(decider.reported(now + 8_500, Engine.UNREACHABLE)).contains(new LoadEffect.Fetch(4));
  }

  @Test
  void learnsFromTheReportWhatBecameOfAnOrderWithoutAnswer() {
    decider.named(now, 2);
    decider.reported(now, engine(1, false, 0));
    decider.whole(now, 2);
    decider.staged(now, 1, true);
    decider.ordered(now, false);
    assertThat(decider.reported(now + 300, engine(1, true, 1))).isEmpty();
    assertThat(decider.reported(now + 900, engine(2, false, 1))).isEmpty();
  }
}
