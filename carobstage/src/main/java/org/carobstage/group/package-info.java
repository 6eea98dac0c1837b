/** What an entry VM knows of a database group. */
package org.carobstage.group;
