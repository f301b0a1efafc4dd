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
    decider = new LoadDecider(new LoadDecider.LoadOptions(7_200, 4_500, 4_400, 200, 2_500));
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

  private boolean stagesAt(long when, Engine engine) {
    return has(decider.reported(when, engine), LoadEffect.Stage.class);
  }

  @Test
  void changesOverByHalvesSoThatTheOtherHalfServes() {
    // Pattern: all engines of a service are whole at the same moment, 5 s after the naming.
    for (int place = 0; place < 6; place++) {
      create();
      decider.ranked(place);
      decider.named(now, 2);
      decider.reported(now, engine(1, false, 0));
      boolean first = has(decider.whole(now + 5_000, 2), LoadEffect.Stage.class);
      assertThat(first).isEqualTo(place % 2 == 0);
      if (!first) {
        assertThat(stagesAt(now + 7_150, engine(1, false, 0))).isFalse();
        assertThat(stagesAt(now + 7_200, engine(1, false, 0))).isTrue();
      }
    }
  }

  @Test
  void fillsAnEngineThatMayServeNoCallAtOnce() {
    decider.ranked(1);
    decider.named(now, 2);
    decider.reported(now, engine(0, false, 0));
    assertThat(has(decider.whole(now + 5_000, 2), LoadEffect.Stage.class)).isTrue();
    create();
    decider.ranked(1);
    decider.named(now, 2);
    decider.reported(now, engine(1, false, 0));
    assertThat(has(decider.whole(now + 7_300, 2), LoadEffect.Stage.class)).isTrue();
  }

  @Test
  void tellsEntriesBeforeAnEngineThatServesChangesOver() {
    decider.named(now, 2);
    decider.reported(now, engine(1, false, 0));
    assertThat(decider.whole(now, 2).get(0)).isEqualTo(new LoadEffect.Announce(2));
  }

  @Test
  void loadsSupersededVersionsOnHalfOfTheEngines() {
    // Pattern: two versions named 4 s apart, the second whole 10 s after the first was named.
    for (int place = 0; place < 2; place++) {
      create();
      decider.ranked(place);
      decider.named(now, 2);
      decider.reported(now, engine(1, false, 0));
      decider.named(now + 4_000, 3);
      boolean first = place == 0;
      assertThat(has(decider.whole(now + 5_000, 2), LoadEffect.Stage.class)).isEqualTo(first);
      assertThat(stagesAt(now + 9_000, engine(1, false, 0))).isFalse();
      long loaded = first ? 2 : 1;
      if (first) {
        decider.staged(now + 5_300, 1, true);
        decider.ordered(now + 5_400, true);
        decider.reported(now + 7_000, engine(2, false, 1));
      }
      // Those that may serve no call load at once, the others when calls must begin on it.
      boolean staged = has(decider.whole(now + 10_000, 3), LoadEffect.Stage.class);
      assertThat(staged).isEqualTo(!first);
      if (first) {
        assertThat(stagesAt(now + 11_200, engine(loaded, false, 1))).isTrue();
      }
    }
  }

  @Test
  void loadsSupersededVersionsAfterAllWhereTheNewerOneDoesNotCome() {
    decider.ranked(1);
    decider.named(now, 2);
    decider.reported(now, engine(1, false, 0));
    decider.named(now + 4_000, 3);
    decider.whole(now + 5_000, 2);
    assertThat(stagesAt(now + 11_500, engine(1, false, 0))).isFalse();
    assertThat(stagesAt(now + 11_600, engine(1, false, 0))).isTrue();
  }

  @Test
  void doesNotWaitForVersionsNamedMuchLater() {
    decider.ranked(1);
    decider.named(now, 2);
    decider.reported(now, engine(1, false, 0));
    decider.named(now + 6_000, 3);
    decider.whole(now + 6_000, 2);
    assertThat(stagesAt(now + 7_200, engine(1, false, 0))).isTrue();
  }

  @Test
  void dropsVersionsThatComeTooLateToBeOfUse() {
    // Pattern: the origin is away while two versions are named 3 s apart.
    decider.named(now, 2);
    decider.named(now + 3_000, 3);
    List<LoadEffect> before = decider.reported(now + 7_900, Engine.UNREACHABLE);
    assertThat(has(before, LoadEffect.Drop.class)).isFalse();
    assertThat(decider.reported(now + 8_000, Engine.UNREACHABLE)).contains(new LoadEffect.Drop(2));
    assertThat(decider.isOpen(2)).isFalse();
    assertThat(has(decider.reported(now + 8_100, Engine.UNREACHABLE), LoadEffect.Drop.class))
        .isFalse();
  }

  @Test
  void fetchesOnlyTheNewestOfVersionsLearntTogether() {
    // Pattern: two versions are named while the store is away; agents learn of both, or of one.
    decider.named(now, 2);
    assertThat(decider.named(now + 300, 3))
        .contains(new LoadEffect.Drop(2), new LoadEffect.Fetch(3));
  }

  @Test
  void knowsWhichVersionsAreOfUse() {
    decider.named(now, 2);
    decider.named(now + 4_000, 3);
    assertThat(decider.isOpen(2)).isTrue();
    assertThat(decider.isOpen(1)).isFalse();
    decider.named(now + 6_000, 4);
    assertThat(decider.isOpen(2)).isFalse();
  }

  @Test
  void tellsEntriesWhenAnEngineHasLoaded() {
    decider.named(now, 2);
    decider.reported(now, engine(1, false, 0));
    decider.whole(now, 2);
    decider.staged(now, 1, true);
    decider.ordered(now, true);
    assertThat(decider.reported(now + 100, engine(0, true, 1))).isEmpty();
    assertThat(decider.reported(now + 400, engine(2, false, 1)))
        .containsExactly(new LoadEffect.Loaded(2));
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
