package amberhoist;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Checks which packages may depend on which. */
@AnalyzeClasses(packages = "amberhoist", importOptions = DoNotIncludeTests.class)
class LayersTest {
  private static final String[] IO_TIME_AND_LIBRARIES = {"java.io..", "java.net..", "java.nio..", "java.time..",
      "org.slf4j..", "ch.qos.logback..", "com.fasterxml..", "picocli..", "io.prometheus..", "java.util.concurrent.."};

  @ArchTest
  static final ArchRule DECIDE_DEPENDS_ONLY_ON_JAVA_LANG_AND_UTIL =
      classes().that().resideInAPackage("amberhoist.decide..").should().onlyDependOnClassesThat()
          .resideInAnyPackage("amberhoist.decide..", "java.lang..", "java.util", "java.util.function",
              "java.util.stream");

  @ArchTest
  static final ArchRule CORE_USES_NO_IO_TIME_OR_LIBRARIES =
      noClasses().that().resideInAPackage("amberhoist.core..").should().dependOnClassesThat()
          .resideInAnyPackage(IO_TIME_AND_LIBRARIES);

  @ArchTest
  static final ArchRule CORE_DEPENDS_ONLY_ON_DECIDE_AND_METRICS =
      noClasses().that().resideInAPackage("amberhoist.core..").should().dependOnClassesThat(
          com.tngtech.archunit.base.DescribedPredicate.describe("other packages of the proxy",
              other -> other.getPackageName().startsWith("amberhoist.")
                  && !other.getPackageName().matches("amberhoist\\.(core|decide|metrics).*")));

  @ArchTest
  static final ArchRule DECIDE_AND_CORE_READ_NO_CLOCK =
      noClasses().that().resideInAnyPackage("amberhoist.decide..", "amberhoist.core..")
          .should().callMethod(System.class, "nanoTime").orShould().callMethod(System.class, "currentTimeMillis")
          .orShould().dependOnClassesThat().resideInAPackage("amberhoist.clock..");

  @ArchTest
  static final ArchRule RELAY_DEPENDS_ON_NOTHING_ELSE =
      classes().that().resideInAPackage("amberhoist.relay..").should().onlyDependOnClassesThat()
          .resideInAnyPackage("amberhoist.relay..", "java.lang..", "java.util");

  @ArchTest
  static final ArchRule FRONTS_DO_NOT_DEPEND_ON_EACH_OTHER =
      slices().matching("amberhoist.front.(*)..").should().notDependOnEachOther();

  @ArchTest
  static final ArchRule NET_DOES_NOT_DEPEND_ON_FRONT =
      noClasses().that().resideInAPackage("amberhoist.net..").should().dependOnClassesThat()
          .resideInAPackage("amberhoist.front..");

  @ArchTest
  static final ArchRule ONLY_CLI_DEPENDS_ON_CLI_AND_PICOCLI =
      noClasses().that().resideOutsideOfPackage("amberhoist.cli..").should().dependOnClassesThat()
          .resideInAnyPackage("amberhoist.cli..", "picocli..");

  @ArchTest
  static final ArchRule ONLY_LOG_DEPENDS_ON_ITS_BACKENDS =
      noClasses().that().resideOutsideOfPackage("amberhoist.log..").should().dependOnClassesThat()
          .resideInAnyPackage("ch.qos.logback..", "org.slf4j.simple..");

  @ArchTest
  static final ArchRule CONTROL_PLANE_DOES_NO_IO_AND_READS_NO_CLOCK =
      noClasses().that().resideInAnyPackage("amberhoist.group", "amberhoist.rollout..", "amberhoist.distribution..")
          .should().dependOnClassesThat()
          .resideInAnyPackage("java.net..", "java.nio.file..", "java.nio.channels..", "org.slf4j..",
              "amberhoist.net..", "amberhoist.clock..", "amberhoist.core..", "amberhoist.decide..");

  @ArchTest
  static final ArchRule DISTRIBUTION_USES_NO_TIME_API_AND_NO_ENCODING =
      noClasses().that().resideInAnyPackage("amberhoist.distribution", "amberhoist.distribution.controller")
          .should().dependOnClassesThat().resideInAnyPackage("java.time..", "com.fasterxml..",
              "amberhoist.distribution.wire..");

  @ArchTest
  static final ArchRule PROXY_DOES_NOT_DEPEND_ON_CONTROL_PLANE =
      noClasses().that()
          .resideOutsideOfPackages("amberhoist.group..", "amberhoist.rollout..", "amberhoist.distribution..").should()
          .dependOnClassesThat().resideInAnyPackage("amberhoist.group..", "amberhoist.rollout..",
              "amberhoist.distribution..", "io.microraft..");
}
