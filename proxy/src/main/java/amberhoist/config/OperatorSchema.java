package amberhoist.config;

import amberhoist.config.schema.Schema;

/**
 * Holds the schema of the operator's file. It is a class of its own so that the schema is loaded only if an operator's
 * file, a flag or an environment variable for one of its keys is given.
 */
final class OperatorSchema {
  static final Schema<OperatorConfig> SCHEMA = new Schema<>(OperatorConfig.class, OperatorConfig.DEFAULT);

  private OperatorSchema() {}
}
