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

/**
 * Guards against logging threads that block because the output of the log blocks: events are
 * dropped instead, and counted.
 */
class QueueAppenderTest {

  private static final int EVENTS = 20_000;

  @Test
  @Timeout(10)
  void dropsAndCountsEventsWhileOutputBlocks() throws InterruptedException {
    CountDownLatch outputBlocked = new CountDownLatch(1);
    AtomicInteger written = new AtomicInteger();
    LoggerContext context = new LoggerContext();
    context.setMDCAdapter(new LogbackMDCAdapter());
    AppenderBase<ILoggingEvent> output =
        new AppenderBase<>() {
          @Override
          protected void append(ILoggingEvent event) {
            try {
              outputBlocked.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
            written.incrementAndGet();
          }
        };
    output.setContext(context);
    output.start();
    QueueAppender queue = new QueueAppender();
    queue.setContext(context);
    queue.addAppender(output);
    queue.start();
    long before = QueueAppender.droppedEvents();
    Logger logger = context.getLogger("x");
    for (int i = 0; i < EVENTS; i++) {
      queue.doAppend(new LoggingEvent("x", logger, Level.INFO, "line", null, null));
    }
    long dropped = QueueAppender.droppedEvents() - before;
    assertThat(dropped).isPositive();
    outputBlocked.countDown();
    queue.stop();
    assertThat(written.get() + dropped).isEqualTo(EVENTS);
  }

  @Test
  void isRootAppenderWithoutConfigurationFile() {
    Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    assertThat(root.iteratorForAppenders().next()).isInstanceOf(QueueAppender.class);
  }
}
