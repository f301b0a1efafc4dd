package org.cornelchute.net.wire;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Each fault of a server is counted, and one an interval and address is logged. */
class ServerFaultsTest {

  private static final long INTERVAL_MILLIS = 10_000;

  private final ListAppender<ILoggingEvent> appender = new ListAppender<>();
  private final Logger logger = (Logger) LoggerFactory.getLogger(ServerFaults.class);
  private final MetricRegistry metrics = new MetricRegistry();
  private long now;

  @BeforeEach
  void attach() {
    appender.start();
    logger.addAppender(appender);
  }

  @AfterEach
  void detach() {
    logger.detachAppender(appender);
  }

  /** Guards against a log line for every response of a server that sends nonsense at full rate. */
  @Test
  void countsAllAndLogsOnceAnAddressAndInterval() {
    ServerFaults faults = new ServerFaults(() -> now, metrics);
    for (int i = 0; i < 100; i++) {
      faults.report("127.0.0.1:1", "cause");
      faults.report("127.0.0.1:2", "cause");
    }
    assertThat(appender.list).hasSize(2);
    now += INTERVAL_MILLIS;
    faults.report("127.0.0.1:1", "cause");
    assertThat(appender.list).hasSize(3);
    assertThat(metrics.meter("server.faults").getCount()).isEqualTo(201);
  }
}
