package org.cornelchute.policy.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class TrunkReservationTest {

  private final TrunkReservation reservation = new TrunkReservation();
  private long now;

  /** Failure: with calls of one rank only, room is reserved for calls that do not come. */
  @Test
  void reservesNothingAgainstTheMostUrgentRank() {
    arrive(5, 100);
    assertThat(reservation.maxLoadPerSlot(5)).isEqualTo(TrunkReservation.MAX_LOAD_PER_SLOT);
  }

  @Test
  void reservesMoreTheMoreUrgentCallsArrive() {
    arrive(0, 30);
    arrive(1, 30);
    arrive(2, 40);
    assertThat(reservation.maxLoadPerSlot(0)).isGreaterThan(reservation.maxLoadPerSlot(1));
    assertThat(reservation.maxLoadPerSlot(1)).isGreaterThan(reservation.maxLoadPerSlot(2));
    assertThat(reservation.maxLoadPerSlot(2))
        .isCloseTo(
            TrunkReservation.MAX_LOAD_PER_SLOT - 0.6 * TrunkReservation.MAX_RESERVED_LOAD_PER_SLOT,
            within(0.01));
  }

  /** Failure: a burst of the least urgent calls shrinks the room that is reserved against it. */
  @Test
  void keepsTheReservationInShortBursts() {
    for (int second = 0; second < 60; second++) {
      arrive(0, 10);
      arrive(1, 10);
      now += 1_000;
    }
    double before = reservation.maxLoadPerSlot(1);
    for (int second = 0; second < 6; second++) {
      arrive(0, 10);
      arrive(1, 24);
      now += 1_000;
    }
    assertThat(reservation.maxLoadPerSlot(1)).isCloseTo(before, within(0.05));
  }

  /** Failure: room stays reserved for calls that no longer arrive. */
  @Test
  void releasesTheReservationOnceUrgentCallsStop() {
    arrive(0, 100);
    for (int second = 0; second < 120; second++) {
      arrive(1, 10);
      now += 1_000;
    }
    assertThat(reservation.maxLoadPerSlot(1))
        .isCloseTo(TrunkReservation.MAX_LOAD_PER_SLOT, within(0.05));
  }

  @Test
  void numbersPrioritiesByRank() {
    arrive(1_002, 1);
    arrive(2, 1);
    arrive(1_000, 1);
    assertThat(reservation.priorityOf(2)).isZero();
    assertThat(reservation.priorityOf(1_000)).isEqualTo(1);
    assertThat(reservation.priorityOf(1_002)).isEqualTo(2);
  }

  /** Failure: ranks of an earlier configuration shift the priorities of those in use for ever. */
  @Test
  void forgetsRanksThatNoLongerArrive() {
    arrive(0, 1);
    arrive(1, 1);
    now += 10 * (long) TrunkReservation.AVERAGING_MILLIS;
    arrive(1, 1);
    assertThat(reservation.priorityOf(1)).isZero();
  }

  /** Failure: more ranks than priorities, which engines would not read. */
  @Test
  void capsPriorities() {
    for (int rank = 0; rank < 30; rank++) {
      arrive(rank, 1);
    }
    assertThat(reservation.priorityOf(29)).isEqualTo(TrunkReservation.MAX_PRIORITY);
  }

  private void arrive(int rank, int calls) {
    for (int i = 0; i < calls; i++) {
      reservation.recordArrival(now, rank);
    }
  }
}
