package org.cornelchute.core.log;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.slf4j.LoggerFactory;

/** Logging never holds a caller up, and says how much it left out. */
class QueueAppenderTest {

  private static final int EVENTS = 20_000;

  @Test
  @Timeout(10)
  void dropsAndCountsWhatAnOutputThatHangsCannotTake() throws InterruptedException {
    CountDownLatch hangs = new CountDownLatch(1);
    AtomicInteger written = new AtomicInteger();
    LoggerContext logs = new LoggerContext();
    logs.setMDCAdapter(new LogbackMDCAdapter());
    AppenderBase<ILoggingEvent> out =
        new AppenderBase<>() {
          @Override
          protected void append(ILoggingEvent e) {
            try {
              hangs.await();
            } catch (InterruptedException x) {
              Thread.currentThread().interrupt();
            }
            written.incrementAndGet();
          }
        };
    out.setContext(logs);
    out.start();
    QueueAppender queue = new QueueAppender();
    queue.setContext(logs);
    queue.addAppender(out);
    queue.start();
    long before = QueueAppender.droppedEvents();
    Logger logger = logs.getLogger("x");
    for (int i = 0; i < EVENTS; i++) {
      queue.doAppend(new LoggingEvent("x", logger, Level.INFO, "line", null, null));
    }
    long dropped = QueueAppender.droppedEvents() - before;
    assertThat(dropped).isPositive();
    hangs.countDown();
    queue.stop();
    assertThat(written.get() + dropped).isEqualTo(EVENTS);
  }

  @Test
  void isTheRootAppenderWithoutAnyFile() {
    Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    assertThat(root.iteratorForAppenders().next()).isInstanceOf(QueueAppender.class);
  }
}
