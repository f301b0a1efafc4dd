package org.cornelchute.core.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.LongAdder;

/** Hands events to another thread; where its queue is full an event is dropped and counted. */
public final class QueueAppender extends AsyncAppender {

  private static final int QUEUE_EVENTS = 4_096;
  private static final LongAdder DROPPED = new LongAdder();

  /** Creates an appender whose callers never wait. */
  public QueueAppender() {
    setQueueSize(QUEUE_EVENTS);
    setDiscardingThreshold(0);
    setNeverBlock(true);
  }

  /** Returns how many events were dropped since the process started. */
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
