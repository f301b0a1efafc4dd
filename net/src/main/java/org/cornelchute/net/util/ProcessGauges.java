package org.cornelchute.net.util;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import org.cornelchute.core.log.QueueAppender;

/** Metrics of the process: CPU time, resident memory, heap, threads and dropped log lines. */
public final class ProcessGauges {

  private static final long PAGE_BYTES = 4_096;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private ProcessGauges() {}

  /** Registers the gauges. */
  public static void register(MetricRegistry metrics) {
    metrics.register("process.cpu.millis", (Gauge<Long>) ProcessGauges::cpuMillis);
    metrics.register("log.dropped.lines", (Gauge<Long>) QueueAppender::droppedEvents);
    metrics.register("process.resident.bytes", (Gauge<Long>) ProcessGauges::residentBytes);
    metrics.register(
        "process.heap.bytes",
        (Gauge<Long>) () -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
    metrics.register(
        "process.threads",
        (Gauge<Integer>) () -> ManagementFactory.getThreadMXBean().getThreadCount());
  }

  /** Returns the CPU time of this process in milliseconds, or -1 if the JVM does not provide it. */
  public static long cpuMillis() {
    if (ManagementFactory.getOperatingSystemMXBean()
        instanceof com.sun.management.OperatingSystemMXBean os) {
      return os.getProcessCpuTime() / NANOS_PER_MILLI;
    }
    return -1;
  }

  /** Returns the resident memory in bytes, or -1 if the system does not provide it. */
  public static long residentBytes() {
    try {
      String[] fields = Files.readString(Path.of("/proc/self/statm")).split(" ");
      return Long.parseLong(fields[1]) * PAGE_BYTES;
    } catch (IOException e) {
      return -1;
    }
  }
}
