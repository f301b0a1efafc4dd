package org.cornelchute.core.duty;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

class DutyTest {

  private final MetricRegistry metrics = new MetricRegistry();

  @Test
  void handlesMessagesInOrderOnOneThread() throws InterruptedException {
    List<Integer> handled = Collections.synchronizedList(new ArrayList<>());
    CountDownLatch done = new CountDownLatch(1_000);
    Duty<Integer> duty =
        new Duty<>(
            "d",
            64,
            Overflow.WAIT,
            1_000,
            m -> {
              handled.add(m);
              done.countDown();
            },
            metrics,
            (name, cause) -> {});
    duty.start();
    for (int i = 0; i < 1_000; i++) {
      assertThat(duty.offer(i)).isTrue();
    }
    done.await();
    duty.close();
    assertThat(handled).isSorted().hasSize(1_000);
  }

  @Test
  void refusesAndCountsMessagesWhenRingIsFull() {
    Duty<Integer> duty =
        new Duty<>("d", 8, Overflow.REFUSE, 1_000, m -> {}, metrics, (name, cause) -> {});
    int accepted = 0;
    for (int i = 0; i < 20; i++) {
      accepted += duty.offer(i) ? 1 : 0;
    }
    assertThat(accepted).isEqualTo(8);
    assertThat(metrics.meter("ring.d.dropped").getCount()).isEqualTo(12);
  }

  @Test
  void reportsExceptionOfHandler() throws InterruptedException {
    AtomicReference<String> failedDuty = new AtomicReference<>("");
    CountDownLatch done = new CountDownLatch(1);
    Duty<Integer> duty =
        new Duty<>(
            "d",
            8,
            Overflow.REFUSE,
            1_000,
            m -> {
              throw new IllegalStateException("broken");
            },
            metrics,
            (name, cause) -> {
              failedDuty.set(name);
              done.countDown();
            });
    duty.start();
    duty.offer(1);
    done.await();
    assertThat(failedDuty.get()).isEqualTo("d");
  }
}
