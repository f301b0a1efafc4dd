package org.cornelchute.core.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Sets logging up: one line an event on standard output, since the VMs have no disks.
 *
 * <p>Found by Logback as a service. A configuration file would cost a start 0.1 s for its parser.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {

  private static final String LEVEL_VARIABLE = "CORNEL_LOG_LEVEL";
  private static final String PATTERN =
      "%d{yyyy-MM-dd'T'HH:mm:ss.SSS'Z',UTC} %-5level %logger{0} %msg%n";

  @Override
  public ExecutionStatus configure(LoggerContext logs) {
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(logs);
    encoder.setPattern(PATTERN);
    encoder.start();
    ConsoleAppender<ILoggingEvent> out = new ConsoleAppender<>();
    out.setContext(logs);
    out.setEncoder(encoder);
    out.start();
    QueueAppender queue = new QueueAppender();
    queue.setContext(logs);
    queue.addAppender(out);
    queue.start();
    logs.getLogger("io.netty.util.internal.MacAddressUtil").setLevel(Level.ERROR);
    logs.getLogger("reactor").setLevel(Level.ERROR);
    logs.getLogger("io.netty").setLevel(Level.WARN);
    Logger root = logs.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO));
    root.addAppender(queue);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
