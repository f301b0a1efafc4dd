package org.cornelchute.core.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.LongAdder;

/**
 * Asynchronous appender that drops and counts events instead of blocking when its queue is full.
 */
public final class QueueAppender extends AsyncAppender {

  private static final int QUEUE_CAPACITY_EVENTS = 4_096;
  private static final LongAdder DROPPED = new LongAdder();

  /** Creates an appender that never blocks the logging thread. */
  public QueueAppender() {
    setQueueSize(QUEUE_CAPACITY_EVENTS);
    setDiscardingThreshold(0);
    setNeverBlock(true);
  }

  /** Returns the number of events dropped since the process started. */
  public static long droppedEvents() {
    return DROPPED.sum();
  }

  @Override
  protected void append(ILoggingEvent event) {
    if (getRemainingCapacity() == 0) {
      DROPPED.increment();
    } else {
      super.append(event);
    }
  }
}
