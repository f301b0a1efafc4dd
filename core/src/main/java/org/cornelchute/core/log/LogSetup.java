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
 * Configures Logback to write one line per event to standard output, as the VMs have no disks.
 *
 * <p>Logback finds this class as a service provider. It is used instead of a configuration file
 * because parsing such a file would add 0.1 s to every process start.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {

  private static final String LEVEL_VARIABLE = "CORNEL_LOG_LEVEL";
  private static final String PATTERN =
      "%d{yyyy-MM-dd'T'HH:mm:ss.SSS'Z',UTC} %-5level %logger{0} %msg%n";

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern(PATTERN);
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setEncoder(encoder);
    console.start();
    QueueAppender queue = new QueueAppender();
    queue.setContext(context);
    queue.addAppender(console);
    queue.start();
    context.getLogger("io.netty.util.internal.MacAddressUtil").setLevel(Level.ERROR);
    context.getLogger("reactor").setLevel(Level.ERROR);
    context.getLogger("io.netty").setLevel(Level.WARN);
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO));
    root.addAppender(queue);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
